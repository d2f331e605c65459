package io.hawthornlb.core.config.support;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.core.config.ConfigBinding;
import io.hawthornlb.core.config.ConfigSection;
import io.hawthornlb.core.model.Finding;
import io.vavr.control.Validation;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class YamlConfigReaderTest {

  enum Mode {
    MUTUAL,
    PLAIN_TEXT
  }

  record Sample(String name, Duration pause, int size, Mode mode, List<String> tags) {}

  private static final ConfigBinding<Sample> BINDING = YamlConfigReaderTest::bind;

  private final YamlConfigReader reader = new YamlConfigReader();

  private static Supplier<Sample> bind(ConfigSection root) {
    root.require("name", "wait");
    var name = root.text("name");
    var wait = root.duration("wait");
    ConfigSection limits = root.section("limits");
    var size = limits.size("body");
    var mode = root.choice("mode", Mode.class);
    var tags = root.texts("tags");
    if (mode.equals(java.util.Optional.of(Mode.MUTUAL)) && tags.isEmpty()) {
      root.reject("mode", "mutual needs tags");
    }
    return () ->
        new Sample(
            name.orElseThrow(),
            wait.orElseThrow(),
            size.orElse(7),
            mode.orElse(Mode.PLAIN_TEXT),
            tags);
  }

  private List<String> findings(String yaml) {
    Validation<List<Finding>, Sample> result = reader.read("f.yaml", yaml, BINDING);
    return result.getError().stream().map(Finding::text).toList();
  }

  @Test
  void readsValuesWithTheirUnits() {
    String yaml =
        """
        name: a
        wait: 1600ms
        limits: {body: 64KiB}
        mode: plain-text
        tags: [x, y]
        """;

    assertEquals(
        new Sample("a", Duration.ofMillis(1_600), 65_536, Mode.PLAIN_TEXT, List.of("x", "y")),
        reader.read("f.yaml", yaml, BINDING).get());
  }

  // Guards against faults that are reported one at a time, each of which costs the operator a
  // restart. All faults of a document must be reported together, each with its line and path.
  @Test
  void reportsAllFaultsTogether() {
    String yaml =
        """
        wait: 5 sec
        limits:
          body: 64KB
          bodie: 1
        mode: mutual
        typo: 1
        wait: 5s
        """;

    assertEquals(
        List.of(
            "f.yaml:1: name: missing",
            "f.yaml:1: wait: expected a duration with its unit, such as 1600ms, 5s, 2m, 24h or 7d,"
                + " found 5 sec",
            "f.yaml:3: limits.body: expected a size below 2GiB with its unit, such as 512B, 64KiB"
                + " or 4MiB, found 64KB",
            "f.yaml:4: limits.bodie: unknown key; known here: body",
            "f.yaml:5: mode: mutual needs tags",
            "f.yaml:6: typo: unknown key; known here: name, wait, limits, mode, tags",
            "f.yaml:7: wait: the key stands twice"),
        findings(yaml));
  }

  @Test
  void reportsNodesOfTheWrongType() {
    assertEquals(
        List.of(
            "f.yaml:1: name: expected a text",
            "f.yaml:2: wait: expected a duration with its unit, such as 1600ms, 5s, 2m, 24h or 7d",
            "f.yaml:3: limits: expected keys with values",
            "f.yaml:4: tags[1]: expected a text",
            "f.yaml:5: mode: expected one of mutual, plain-text, found other"),
        findings("name: [a]\nwait:\nlimits: 3\ntags: [a, {b: c}]\nmode: other\n"));
  }

  @Test
  void reportsInvalidYamlWithItsLine() {
    assertEquals(
        List.of("f.yaml:2: no valid YAML: expected ',' or ']', but got <stream end>"),
        findings("name: a\ntags: [a"));
    assertEquals(List.of("f.yaml:1: expected keys with values"), findings("[1, 2]"));
  }

  @Test
  void reportsValuesThatTheirConstructorRejects() {
    Validation<List<Finding>, Sample> result =
        reader.read(
            "f.yaml",
            "{}",
            root ->
                () -> {
                  throw new IllegalArgumentException("too small");
                });

    assertEquals(List.of(new Finding("f.yaml", 0, "", "too small")), result.getError());
  }

  @Property(tries = 200)
  void findsEveryUnknownKey(@ForAll @IntRange(min = 1, max = 40) int unknown) {
    StringBuilder yaml = new StringBuilder("name: a\nwait: 1s\n");
    for (int i = 0; i < unknown; i++) {
      yaml.append("extra").append(i).append(": 1\n");
    }

    assertEquals(unknown, findings(yaml.toString()).size());
  }
}
