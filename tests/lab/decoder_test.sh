#!/bin/bash
# Checks the frames of a short run with an independent decoder: tshark must decode every frame of the capture
# file as Diameter, without a malformed frame, an unknown AVP or any other warning.
# Arguments: mintrock-lab, the source folder. Skipped (exit status 77) only if tshark is not installed.
set -euo pipefail
lab=$1
source=$2
command -v tshark >/dev/null || exit 77
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
chmod 755 "$work"
"$lab" run "$source/scenarios/short.yaml" --trace "$work/run" --slack 10s
"$lab" check "$work/run" --pcap "$work/all.pcap" --slack 10s >"$work/check"
frames=$(sed -n 's/^\([0-9]*\) frames in .*/\1/p' "$work/check")
test "$frames" -gt 1000
# Wireshark's dictionary, with the project's AVPs as its custom ones.
cp -r /usr/share/wireshark "$work/data"
cp "$source/docs/wireshark/mintrock.xml" "$work/data/diameter/Custom.xml"
chmod -R a+rX "$work"
# Wireshark ignores WIRESHARK_DATA_DIR for root, so drop privileges.
as=()
if [ "$(id -u)" = 0 ]; then as=(setpriv --reuid=65534 --regid=65534 --clear-groups); fi
"${as[@]}" env HOME="$work" WIRESHARK_DATA_DIR="$work/data" tshark -n -r "$work/all.pcap" \
  -d tcp.port==20000-32000,diameter -o tcp.analyze_sequence_numbers:false \
  -T fields -e frame.protocols -e _ws.malformed -e diameter.avp.unknown -e _ws.expert.message \
  2>"$work/errors" | sort | uniq -c >"$work/kinds"
head -20 "$work/kinds"
# All lines must be alike: the expected protocols, and nothing in the three fields for errors and warnings.
test "$(wc -l <"$work/kinds")" = 1
grep -Pq "^ *$frames ip:tcp:diameter\t*$" "$work/kinds"
# Checks that the test can fail: with the length of one AVP corrupted, tshark must report an error.
printf '\003' | dd of="$work/all.pcap" bs=1 seek=$((24 + 16 + 40 + 20 + 7)) conv=notrunc status=none
corrupt_output=$("${as[@]}" env HOME="$work" WIRESHARK_DATA_DIR="$work/data" tshark -n -r "$work/all.pcap" -c 1 \
  -d tcp.port==20000-32000,diameter -T fields -e _ws.malformed -e _ws.expert.message 2>/dev/null)
test -n "${corrupt_output//[[:space:]]/}"
