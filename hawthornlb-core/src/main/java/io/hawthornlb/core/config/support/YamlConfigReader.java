package io.hawthornlb.core.config.support;

import io.hawthornlb.core.config.ConfigBinding;
import io.hawthornlb.core.config.ConfigReader;
import io.hawthornlb.core.model.Finding;
import io.vavr.control.Either;
import io.vavr.control.Validation;
import java.io.StringReader;
import java.util.List;
import java.util.function.Supplier;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.Mark;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * Reads YAML documents whose root is a mapping. Values are kept as they are written, so that the
 * reader never has to guess a unit.
 */
public final class YamlConfigReader implements ConfigReader {

  private static final int MAX_CODE_POINTS = 32 << 20;

  @Override
  public <T> Validation<List<Finding>, T> read(
      String source, String content, ConfigBinding<T> binding) {
    FindingCollector findings = new FindingCollector(source);
    Either<Finding, MappingNode> root = parse(source, content);
    if (root.isLeft()) {
      return Validation.invalid(List.of(root.getLeft()));
    }
    YamlConfigSection section = new YamlConfigSection("", root.get(), findings);
    Supplier<T> value = binding.bind(section);
    section.reportUnknownKeys();
    if (!findings.isEmpty()) {
      return Validation.invalid(findings.sorted());
    }
    return create(source, value);
  }

  private static Either<Finding, MappingNode> parse(String source, String content) {
    LoaderOptions options = new LoaderOptions();
    options.setCodePointLimit(MAX_CODE_POINTS);
    try {
      Node root = new Yaml(options).compose(new StringReader(content));
      if (root instanceof MappingNode mapping) {
        return Either.right(mapping);
      }
      return Either.left(new Finding(source, 1, "", "expected keys with values"));
    } catch (MarkedYAMLException e) {
      return Either.left(new Finding(source, line(e.getProblemMark()), "", problem(e)));
    } catch (YAMLException e) {
      return Either.left(new Finding(source, 0, "", "no valid YAML: " + e.getMessage()));
    }
  }

  private static String problem(MarkedYAMLException e) {
    String problem = e.getProblem() == null ? "syntax error" : e.getProblem();
    return "no valid YAML: " + problem;
  }

  private static int line(Mark mark) {
    return mark == null ? 0 : mark.getLine() + 1;
  }

  private static <T> Validation<List<Finding>, T> create(String source, Supplier<T> value) {
    try {
      return Validation.valid(value.get());
    } catch (IllegalArgumentException e) {
      return Validation.invalid(List.of(new Finding(source, 0, "", e.getMessage())));
    }
  }

  /** Returns whether a node represents a null value. */
  static boolean isNull(Node node) {
    return Tag.NULL.equals(node.getTag());
  }
}
