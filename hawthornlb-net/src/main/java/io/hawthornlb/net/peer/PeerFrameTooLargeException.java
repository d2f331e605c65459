package io.hawthornlb.net.peer;

/** Thrown when a message exceeds the frame size limit. The caller has to split the message. */
public class PeerFrameTooLargeException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with the size of the message and the limit, in bytes. */
  public PeerFrameTooLargeException(int size, int limit) {
    super("a message of " + size + " bytes exceeds the limit of " + limit + "; split it");
  }
}
