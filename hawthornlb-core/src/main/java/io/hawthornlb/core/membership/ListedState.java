package io.hawthornlb.core.membership;

/** State of a process in the instance list of the platform. */
public enum ListedState {
  /** The process is in service. */
  LIVE,
  /** The process finishes its requests and accepts no new ones. */
  LEAVING
}
