package io.hawthornlb.core.effect;

/** Which instances receive a broadcast message. */
public enum BroadcastScope {
  /** All entry instances of the own data centre. */
  DATA_CENTRE,
  /**
   * All entry instances. In each other data centre, one instance receives the message and forwards
   * it there.
   */
  FLEET
}
