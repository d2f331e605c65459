package io.hawthornlb.gateway.job;

/**
 * Decides whether an item is given up after a failure. Performs no I/O and does not use the time.
 */
final class ItemRules {

  private ItemRules() {}

  /** What to do with an item after an endpoint has failed at it. */
  enum Next {
    /** The item runs again. */
    RUN_AGAIN,
    /** The item is given up. */
    GIVE_UP
  }

  /** Status by which an endpoint says that the item can never be completed. */
  static final int PERMANENT_FAILURE = 422;

  /**
   * Returns what to do after a response that is not a success.
   *
   * @param status status of the response
   * @param failures number of responses with status 500 so far, including this one
   * @param maxAttempts number of failures after which an item is given up
   */
  static Next afterFailure(int status, int failures, int maxAttempts) {
    if (status == PERMANENT_FAILURE) {
      return Next.GIVE_UP;
    }
    return status == 500 && failures >= maxAttempts ? Next.GIVE_UP : Next.RUN_AGAIN;
  }
}
