package io.hawthornlb.gateway.job;

/** Decides whether an item is given up. No I/O, no time. */
final class ItemRules {

  private ItemRules() {}

  /** What follows an endpoint's failure. */
  enum Next {
    /** The item runs again. */
    RUN_AGAIN,
    /** The item is given up. */
    GIVE_UP
  }

  /** The endpoint says that the item can never be done. */
  static final int NEVER = 422;

  /**
   * Returns what follows an answer without success.
   *
   * @param status status of the answer
   * @param failures answers of 500 so far, this one included
   * @param maxAttempts failures after which an item is given up
   */
  static Next after(int status, int failures, int maxAttempts) {
    if (status == NEVER) {
      return Next.GIVE_UP;
    }
    return status == 500 && failures >= maxAttempts ? Next.GIVE_UP : Next.RUN_AGAIN;
  }
}
