#!/bin/sh
# The bundle commands of the program in the build directory $1, from key
# generation to signature verification.  Guards against a command that accepts
# a bundle which a later command rejects, and against wrong exit codes.
bin=$1/limpethinge
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
status=0

# expect CODE COMMAND...: runs the command; its exit code must be CODE.
expect() {
	expected=$1
	shift
	"$@" >"$dir/out" 2>"$dir/err"
	actual=$?
	if [ $actual -ne "$expected" ]; then
		echo "exit code $actual instead of $expected: $*"
		cat "$dir/out" "$dir/err"
		status=1
	fi
}

expect 0 "$bin" check examples/*.ini
expect 0 "$bin" bundle keygen ben "$dir/ben.key"
sed '/^\[signer/,$d' examples/node1.ini >"$dir/node.ini"
cat "$dir/out" >>"$dir/node.ini"
expect 0 "$bin" check "$dir/node.ini"
[ "$(stat -c %a "$dir/ben.key")" = 600 ] || { echo "private key file is accessible to other users"; status=1; }
# A second run must not overwrite the key.
expect 1 "$bin" bundle keygen ben "$dir/ben.key"

expect 0 "$bin" bundle new --author ana --site ruedas
cp "$dir/out" "$dir/new.ini"
# The template is a valid bundle except for the key hash of its member.
expect 2 "$bin" check "$dir/new.ini"
[ "$(wc -l <"$dir/out")" -eq 1 ] || { cat "$dir/out"; status=1; }
echo a-bearer-key-for-tests >"$dir/member.key"
expect 0 "$bin" bundle hash-key "$dir/member.key"
sed "s/^key_hash = .*/key_hash = $(cat "$dir/out")/" "$dir/new.ini" >"$dir/b.ini"
expect 0 "$bin" check "$dir/b.ini"
expect 0 "$bin" bundle show "$dir/b.ini"
expect 0 "$bin" bundle diff examples/ruedas.ini "$dir/b.ini"

expect 1 "$bin" bundle sign --signer ana --key-file "$dir/ben.key" "$dir/b.ini"
expect 2 "$bin" bundle sign --signer ben --key-file "$dir/ben.key" "$dir/new.ini"
expect 0 "$bin" bundle sign --signer ben --key-file "$dir/ben.key" "$dir/b.ini"
cp "$dir/out" "$dir/sig"
expect 0 "$bin" bundle verify --settings "$dir/node.ini" \
	--signature "$dir/sig" "$dir/b.ini"
echo "; altered" >>"$dir/b.ini"
expect 1 "$bin" bundle verify --settings "$dir/node.ini" \
	--signature "$dir/sig" "$dir/b.ini"
expect 1 "$bin" bundle verify --settings examples/node1.ini \
	--signature "$dir/sig" "$dir/b.ini"

expect 2 "$bin" serve --settings "$dir/b.ini"
expect 64 "$bin" serve
expect 64 "$bin" nothing
expect 64 "$bin"
for command in check serve roll status dump counters drain submit \
	"order submit" "order watch" "bundle sign"; do
	expect 0 "$bin" $command --help
	expect 0 "$bin" $command --version
done
exit $status
