package io.hawthornlb.gateway.slot;

/**
 * Settings of a deployment that determine how slots are scheduled.
 *
 * @param contended whether callers compete for less capacity than they ask for at times, so that
 *     requests are ordered and refused by their work
 */
public record SchedulingSettings(boolean contended) {

  /** The settings of a deployment that asks for nothing. */
  public static final SchedulingSettings DEFAULT = new SchedulingSettings(false);
}
