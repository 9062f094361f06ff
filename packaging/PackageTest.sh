#!/bin/sh
# Builds the Debian package, unpacks it into a temporary folder and runs its programs: PackageTest.sh BUILD_FOLDER
set -eu
build=$1
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
fail() {
    echo "$*"
    exit 1
}

(cd "$build" && cpack -G DEB -B "$folder" >"$folder/cpack.log" 2>&1) || { cat "$folder/cpack.log"; fail "cpack failed"; }
package=$(find "$folder" -maxdepth 1 -name '*.deb')
[ -f "$package" ] || fail "expected one package, found: $package"
dpkg-deb --field "$package" Depends | grep -q libtbb || fail "the package does not depend on libtbb"
dpkg-deb --ctrl-tarfile "$package" | tar -tf - | grep -q postinst || fail "the package has no postinst"
dpkg-deb --extract "$package" "$folder/root"

root=$folder/root
for unit in entry control; do
    file=$root/lib/systemd/system/cuminrelay-$unit.service
    [ -f "$file" ] || file=$root/usr/lib/systemd/system/cuminrelay-$unit.service
    [ -f "$file" ] || fail "cuminrelay-$unit.service is not in the package"
    # The program that the unit starts must be in the package.
    program=$(sed -n 's/^ExecStart=\([^ ]*\).*/\1/p' "$file")
    [ -x "$root$program" ] || fail "$unit: ExecStart names $program, which is not in the package"
done
[ -f "$root/usr/share/doc/cuminrelay/OPERATIONS.md" ] || fail "OPERATIONS.md is not in the package"
for deployment in shirakaba kalahari; do
    samples=$root/usr/share/cuminrelay/config/$deployment
    "$root/usr/bin/cuminrelay-entry" --check --config "$samples/entry.json" >/dev/null
    "$root/usr/bin/cuminrelay-control" --check --config "$samples/control.json" >/dev/null
    "$root/usr/bin/cuminrelayctl" check -f "$samples/declarations.json" --config "$samples/ctl.json" >/dev/null
done
version=$("$root/usr/bin/cuminrelayctl" --version 2>&1) || fail "cuminrelayctl --version ended with $?: $version"
case $version in
"cuminrelayctl "[0-9]*) ;;
*) fail "cuminrelayctl --version printed: $version" ;;
esac
echo "all as expected"
