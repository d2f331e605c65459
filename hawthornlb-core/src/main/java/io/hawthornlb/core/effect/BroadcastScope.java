package io.hawthornlb.core.effect;

/** How far a message to peers is spread. */
public enum BroadcastScope {
  /** To the entries of the own data centre. */
  DATA_CENTRE,
  /** To all entries: one of each other data centre receives it and passes it on there. */
  FLEET
}
