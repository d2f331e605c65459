package io.hawthornlb.standin.support;

/**
 * One element of the platform's instance list.
 *
 * @param id unique among all processes
 * @param kind {@code entry} or {@code endpoint}
 * @param service the service of an endpoint
 * @param dataCentre where it stands
 * @param address {@code host:port}
 * @param state {@code live} or {@code leaving}
 */
public record Announcement(
    String id, String kind, String service, String dataCentre, String address, String state) {

  /** The kind of an endpoint. */
  public static final String ENDPOINT = "endpoint";

  /** The state of a process that takes work. */
  public static final String LIVE = "live";

  /** The state of a process that takes no new work. */
  public static final String LEAVING = "leaving";
}
