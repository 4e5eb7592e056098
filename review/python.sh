# Sets `python` to an interpreter with tomllib.
for python in /usr/bin/python3 python3; do
  if "$python" -c 'import tomllib' 2>/dev/null; then break; fi
done
