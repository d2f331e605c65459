package io.hawthornlb.core.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One mapping of a document.
 *
 * <p>Each accessor returns empty both for a missing key and for a value that has a fault; the fault
 * is kept as a finding. Keys that nobody asked for are reported once the whole document is read.
 */
public interface ConfigSection {

  /** Returns the path of this section inside the document; empty for the root. */
  String path();

  /** Returns the keys in the order of the document. */
  Set<String> keys();

  /** Returns whether the document holds the key. */
  boolean has(String key);

  /** Reports each of the keys that the document does not hold. */
  void require(String... keys);

  /** Reports a fault of the value of a key, at its place. */
  void reject(String key, String message);

  /** Returns a text. */
  Optional<String> text(String key);

  /** Returns a list of texts; empty if the key is missing. */
  List<String> texts(String key);

  /** Returns {@code true} or {@code false}. */
  Optional<Boolean> flag(String key);

  /** Returns a whole number within bounds, both included. */
  Optional<Integer> wholeNumber(String key, int least, int most);

  /** Returns a number within bounds, both included. */
  Optional<Double> number(String key, double least, double most);

  /** Returns a duration with its unit, such as {@code 1600ms}; see {@link DurationFormat}. */
  Optional<Duration> duration(String key);

  /** Returns a number of bytes with its unit, such as {@code 64KiB}; see {@link SizeFormat}. */
  Optional<Integer> size(String key);

  /** Returns a constant by its name in lower case with hyphens. */
  <E extends Enum<E>> Optional<E> choice(String key, Class<E> type);

  /** Returns the section under a key; an empty section if the key is missing. */
  ConfigSection section(String key);

  /** Returns the list of sections under a key; empty if the key is missing. */
  List<ConfigSection> sections(String key);
}
