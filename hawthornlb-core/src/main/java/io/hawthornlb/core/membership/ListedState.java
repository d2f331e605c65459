package io.hawthornlb.core.membership;

/** State of a process in the list of the platform. */
public enum ListedState {
  /** In service. */
  LIVE,
  /** Finishes what it has and takes nothing new. */
  LEAVING
}
