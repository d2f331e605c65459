package io.hawthornlb.core.crash;

import java.util.Set;

/**
 * The end of an endpoint while requests were there whose answers had not begun.
 *
 * @param id identity of the crash, the same at all instances that notice it
 * @param suspects parts of these requests, as far as this instance sent them
 */
public record EndpointCrash(String id, Set<String> suspects) {

  /** Maximum length of an id in characters. */
  public static final int MAX_ID_LENGTH = 120;

  /** Copies the suspects. */
  public EndpointCrash {
    suspects = Set.copyOf(suspects);
  }
}
