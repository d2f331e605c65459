package io.hawthornlb.core.pace;

/** Receives changes of the long-term pace of endpoints. */
public interface PaceListener {

  /**
   * Called when the long-term factor of an endpoint has entered or left the usual range.
   *
   * @param usual whether the factor is in the usual range now
   */
  void changed(String endpoint, double factor, boolean usual);
}
