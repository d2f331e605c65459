package io.hawthornlb.standin.support;

/**
 * The announcement of a process, which is one element of the platform's instance list.
 *
 * @param id the id, unique among all processes
 * @param kind the kind of process, {@code entry} or {@code endpoint}
 * @param service the service that an endpoint belongs to
 * @param dataCentre the data centre of the process
 * @param address the address of the process as {@code host:port}
 * @param state the state of the process, {@code live} or {@code leaving}
 */
public record Announcement(
    String id, String kind, String service, String dataCentre, String address, String state) {

  /** The kind of an endpoint. */
  public static final String ENDPOINT = "endpoint";

  /** The state of a process that accepts new work. */
  public static final String LIVE = "live";

  /** The state of a process that accepts no new work. */
  public static final String LEAVING = "leaving";
}
