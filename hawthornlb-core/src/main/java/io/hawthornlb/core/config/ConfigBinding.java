package io.hawthornlb.core.config;

import java.util.function.Supplier;

/**
 * Converts a document to a value in two steps, so that all faults are reported together.
 *
 * @param <T> the type of the value
 */
@FunctionalInterface
public interface ConfigBinding<T> {

  /**
   * Reads and checks every key, and returns a supplier of the value. The supplier is called only if
   * there are no findings.
   */
  Supplier<T> bind(ConfigSection root);
}
