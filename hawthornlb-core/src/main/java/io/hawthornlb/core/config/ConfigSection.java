package io.hawthornlb.core.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Section of a document: a mapping from keys to values.
 *
 * <p>Each accessor returns empty both for a missing key and for an invalid value. An invalid value
 * adds a finding. Keys that no accessor has read are reported as unknown after the whole document
 * has been read.
 */
public interface ConfigSection {

  /** Returns the path of this section in the document; empty for the root. */
  String path();

  /** Returns the keys in the order of the document. */
  Set<String> keys();

  /** Returns whether the section contains a key. */
  boolean has(String key);

  /** Adds a finding for each of the keys that the section does not contain. */
  void require(String... keys);

  /** Adds a finding about the value of a key, with its line and path. */
  void reject(String key, String message);

  /** Returns the text of a key. */
  Optional<String> text(String key);

  /** Returns the list of texts of a key; empty if the key is missing. */
  List<String> texts(String key);

  /** Returns the boolean value of a key. */
  Optional<Boolean> flag(String key);

  /** Returns a whole number between two bounds, inclusive. */
  Optional<Integer> wholeNumber(String key, int min, int max);

  /** Returns a number between two bounds, inclusive. */
  Optional<Double> number(String key, double min, double max);

  /**
   * Returns a duration, written with its unit, such as {@code 1600ms}; see {@link DurationFormat}.
   */
  Optional<Duration> duration(String key);

  /**
   * Returns a number of bytes, written with its unit, such as {@code 64KiB}; see {@link
   * SizeFormat}.
   */
  Optional<Integer> size(String key);

  /** Returns an enum constant, written in lower case with hyphens; see {@link EnumNames}. */
  <E extends Enum<E>> Optional<E> choice(String key, Class<E> type);

  /** Returns the section of a key; an empty section if the key is missing. */
  ConfigSection section(String key);

  /** Returns the list of sections of a key; empty if the key is missing. */
  List<ConfigSection> sections(String key);
}
