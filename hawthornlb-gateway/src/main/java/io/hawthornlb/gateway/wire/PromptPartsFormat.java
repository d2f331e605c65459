package io.hawthornlb.gateway.wire;

import io.hawthornlb.core.crash.PromptParts;
import java.util.function.UnaryOperator;

/** Reads the parts of its prompt that a request names in its headers. */
public interface PromptPartsFormat {

  /**
   * Returns the parts that a request shares with others; none if it names no parts.
   *
   * @param header returns the value of a header by its name; null if the request lacks it
   */
  PromptParts read(UnaryOperator<String> header);
}
