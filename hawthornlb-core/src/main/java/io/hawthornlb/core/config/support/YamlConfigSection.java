package io.hawthornlb.core.config.support;

import io.hawthornlb.core.config.ConfigSection;
import io.hawthornlb.core.config.DurationFormat;
import io.hawthornlb.core.config.EnumNames;
import io.hawthornlb.core.config.SizeFormat;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/** Section of a YAML document, which records the keys that were read. */
final class YamlConfigSection implements ConfigSection {

  private final String path;
  private final int line;
  private final FindingCollector findings;
  private final Map<String, Node> values = new LinkedHashMap<>();
  private final Map<String, Integer> keyLines = new LinkedHashMap<>();
  private final Set<String> knownKeys = new LinkedHashSet<>();
  private final List<YamlConfigSection> children = new ArrayList<>();

  YamlConfigSection(String path, MappingNode mapping, FindingCollector findings) {
    this(path, lineOf(mapping), findings);
    mapping.getValue().forEach(this::addKey);
  }

  private YamlConfigSection(String path, int line, FindingCollector findings) {
    this.path = path;
    this.line = line;
    this.findings = findings;
  }

  private void addKey(NodeTuple tuple) {
    int keyLine = lineOf(tuple.getKeyNode());
    if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
      findings.add(keyLine, path, "expected a plain key");
      return;
    }
    if (values.putIfAbsent(key.getValue(), tuple.getValueNode()) != null) {
      findings.add(keyLine, pathOf(key.getValue()), "the key stands twice");
      return;
    }
    keyLines.put(key.getValue(), keyLine);
  }

  @Override
  public String path() {
    return path;
  }

  @Override
  public Set<String> keys() {
    return Collections.unmodifiableSet(values.keySet());
  }

  @Override
  public boolean has(String key) {
    return values.containsKey(key);
  }

  @Override
  public void require(String... keys) {
    for (String key : keys) {
      if (!has(key)) {
        findings.add(line, pathOf(key), "missing");
      }
    }
  }

  @Override
  public void reject(String key, String message) {
    findings.add(keyLines.getOrDefault(key, line), pathOf(key), message);
  }

  @Override
  public Optional<String> text(String key) {
    return scalar(key, "expected a text", Optional::of);
  }

  @Override
  public List<String> texts(String key) {
    List<String> texts = new ArrayList<>();
    List<Node> elements = elements(key, "expected a list of texts");
    for (int i = 0; i < elements.size(); i++) {
      if (elements.get(i) instanceof ScalarNode scalar && !YamlConfigReader.isNull(scalar)) {
        texts.add(scalar.getValue());
      } else {
        findings.add(lineOf(elements.get(i)), elementPath(key, i), "expected a text");
      }
    }
    return texts;
  }

  @Override
  public Optional<Boolean> flag(String key) {
    return scalar(
        key,
        "expected true or false",
        text ->
            switch (text) {
              case "true" -> Optional.of(true);
              case "false" -> Optional.of(false);
              default -> Optional.empty();
            });
  }

  @Override
  public Optional<Integer> wholeNumber(String key, int min, int max) {
    String expected = "expected a whole number from " + min + " to " + max;
    return scalar(key, expected, text -> parseInt(text).filter(n -> n >= min && n <= max));
  }

  @Override
  public Optional<Double> number(String key, double min, double max) {
    String expected = "expected a number from " + min + " to " + max;
    return scalar(key, expected, text -> parseDouble(text).filter(n -> n >= min && n <= max));
  }

  @Override
  public Optional<Duration> duration(String key) {
    return scalar(key, DurationFormat.EXPECTED, DurationFormat::parse);
  }

  @Override
  public Optional<Integer> size(String key) {
    return scalar(key, SizeFormat.EXPECTED, SizeFormat::parse);
  }

  @Override
  public <E extends Enum<E>> Optional<E> choice(String key, Class<E> type) {
    String expected = "expected one of " + EnumNames.all(type);
    return scalar(key, expected, text -> EnumNames.find(type, text));
  }

  @Override
  public ConfigSection section(String key) {
    knownKeys.add(key);
    Node node = values.get(key);
    if (node instanceof MappingNode mapping) {
      return addChild(new YamlConfigSection(pathOf(key), mapping, findings));
    }
    if (node != null) {
      reject(key, "expected keys with values");
    }
    return new YamlConfigSection(pathOf(key), keyLines.getOrDefault(key, line), findings);
  }

  @Override
  public List<ConfigSection> sections(String key) {
    List<ConfigSection> sections = new ArrayList<>();
    List<Node> elements = elements(key, "expected a list");
    for (int i = 0; i < elements.size(); i++) {
      String elementPath = elementPath(key, i);
      if (elements.get(i) instanceof MappingNode mapping) {
        sections.add(addChild(new YamlConfigSection(elementPath, mapping, findings)));
      } else {
        findings.add(lineOf(elements.get(i)), elementPath, "expected keys with values");
      }
    }
    return sections;
  }

  /** Reports the keys that were not read, in this section and in all sections below it. */
  void reportUnknownKeys() {
    for (String key : values.keySet()) {
      if (!knownKeys.contains(key)) {
        reject(key, unknownKeyMessage());
      }
    }
    children.forEach(YamlConfigSection::reportUnknownKeys);
  }

  private String unknownKeyMessage() {
    return knownKeys.isEmpty()
        ? "unknown key"
        : "unknown key; known here: " + String.join(", ", knownKeys);
  }

  private YamlConfigSection addChild(YamlConfigSection child) {
    children.add(child);
    return child;
  }

  private <T> Optional<T> scalar(
      String key, String expected, Function<String, Optional<T>> parser) {
    knownKeys.add(key);
    Node node = values.get(key);
    if (node == null) {
      return Optional.empty();
    }
    Optional<T> value = scalarText(node).flatMap(parser);
    if (value.isEmpty()) {
      reject(key, expected + found(node));
    }
    return value;
  }

  private static Optional<String> scalarText(Node node) {
    return node instanceof ScalarNode scalar && !YamlConfigReader.isNull(scalar)
        ? Optional.of(scalar.getValue().strip()).filter(text -> !text.isEmpty())
        : Optional.empty();
  }

  private static String found(Node node) {
    return scalarText(node).map(text -> ", found " + text).orElse("");
  }

  private List<Node> elements(String key, String expected) {
    knownKeys.add(key);
    @Nullable Node node = values.get(key);
    if (node == null) {
      return List.of();
    }
    if (node instanceof SequenceNode sequence) {
      return sequence.getValue();
    }
    reject(key, expected);
    return List.of();
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  private String elementPath(String key, int index) {
    return pathOf(key) + "[" + index + "]";
  }

  private static int lineOf(Node node) {
    return node.getStartMark().getLine() + 1;
  }

  private static Optional<Integer> parseInt(String text) {
    try {
      return Optional.of(Integer.parseInt(text));
    } catch (NumberFormatException ignored) {
      return Optional.empty();
    }
  }

  private static Optional<Double> parseDouble(String text) {
    try {
      return Optional.of(Double.parseDouble(text));
    } catch (NumberFormatException ignored) {
      return Optional.empty();
    }
  }
}
