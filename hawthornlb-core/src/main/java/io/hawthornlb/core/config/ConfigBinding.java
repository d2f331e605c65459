package io.hawthornlb.core.config;

import java.util.function.Supplier;

/**
 * Turns a document into a value in two steps, so that one fault does not hide the next.
 *
 * @param <T> the type of the value
 */
@FunctionalInterface
public interface ConfigBinding<T> {

  /** Reads and checks every key; the returned supplier is called only if there was no finding. */
  Supplier<T> bind(ConfigSection root);
}
