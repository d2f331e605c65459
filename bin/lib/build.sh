# Shared by the scripts beside this folder: installs the build tools that are missing.

ensure_tools() {
  local missing=()
  command -v javac >/dev/null 2>&1 || missing+=(openjdk-17-jdk-headless)
  command -v mvn >/dev/null 2>&1 || missing+=(maven)
  install_packages "${missing[@]}"
}

ensure_curl() {
  command -v curl >/dev/null 2>&1 || install_packages curl ca-certificates
}

install_packages() {
  if [ $# -gt 0 ]; then
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "$@"
  fi
}

# Builds target/hawthornlb unless it is newer than every source file.
build_program() {
  local program=target/hawthornlb
  if [ -x "$program" ] && [ -z "$(newer_sources "$program")" ]; then
    return
  fi
  echo "building $program"
  mvn -B -ntp -q -Dstyle.color=never -DskipTests package "$@"
  join_program "$program"
}

newer_sources() {
  find bin/lib/launcher.sh pom.xml hawthornlb-*/pom.xml hawthornlb-*/src/main platform/pom.xml platform/src/main -newer "$1" -print -quit
}

# Puts the launcher before the jar. Java finds a jar by the directory at the end of the file, so
# the text before it does no harm. The move at the end replaces the program at once: a process that
# runs the former one keeps reading the former file.
join_program() {
  local jars=(target/hawthornlb-app/hawthornlb-app-*-all.jar)
  mkdir -p target
  cat bin/lib/launcher.sh "${jars[0]}" > "$1.new"
  chmod 755 "$1.new"
  mv "$1.new" "$1"
}
