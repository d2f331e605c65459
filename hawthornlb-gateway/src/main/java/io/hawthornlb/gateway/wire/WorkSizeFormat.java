package io.hawthornlb.gateway.wire;

import io.hawthornlb.core.work.WorkSize;
import java.util.function.UnaryOperator;

/** Reads the size that a request states in its headers. */
public interface WorkSizeFormat {

  /**
   * Returns the size that a request states; a count that is missing or malformed is not stated.
   *
   * @param header returns the value of a header by its name; null if the request lacks it
   */
  WorkSize read(UnaryOperator<String> header);
}
