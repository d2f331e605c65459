package io.hawthornlb.http.support;

import io.hawthornlb.http.ResponseFault;
import io.hawthornlb.http.ResponseScanner;
import java.util.function.BooleanSupplier;

/**
 * Scanner that follows the grammar of RFC 9112. Beside it, it takes a status line without the space
 * before a missing reason, and blanks behind the size of a chunk.
 */
public final class GrammarScanner implements ResponseScanner {

  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /** What the next octet belongs to. */
  private enum Part {
    STATUS_LINE,
    HEADER_SECTION,
    CONTENT,
    CHUNK_LINE,
    CHUNK_CONTENT,
    CHUNK_END,
    TRAILER_SECTION
  }

  private final BooleanSupplier answersHead;
  private final StatusLineParser statusLine = new StatusLineParser();
  private final FieldLineParser fieldLine = new FieldLineParser();
  private final ChunkLineParser chunkLine = new ChunkLineParser();
  private ResponseFraming framing = new ResponseFraming();
  private Part part = Part.STATUS_LINE;
  private long contentAhead;
  private boolean chunkLineEnding;
  private boolean atEnd;

  /**
   * Creates a scanner at the start of a connection.
   *
   * @param answersHead whether the response whose head is being read answers a HEAD request
   */
  public GrammarScanner(BooleanSupplier answersHead) {
    this.answersHead = answersHead;
  }

  @Override
  public int accept(byte[] octets, int from, int to) {
    atEnd = false;
    int at = from;
    while (at < to && !atEnd && contentAhead == 0) {
      if (part == Part.HEADER_SECTION) {
        at = fieldLine.skip(octets, at, to);
      }
      if (at < to) {
        accept(octets[at]);
        at++;
      }
    }
    return at;
  }

  private void accept(byte octet) {
    switch (part) {
      case STATUS_LINE -> {
        if (statusLine.accept(octet)) {
          framing = new ResponseFraming();
          fieldLine.restart(framing);
          part = Part.HEADER_SECTION;
        }
      }
      case HEADER_SECTION -> {
        if (fieldLine.accept(octet)) {
          endHead();
        }
      }
      case CHUNK_LINE -> {
        if (chunkLine.accept(octet)) {
          beginChunk(chunkLine.size());
        }
      }
      case CHUNK_END -> acceptChunkEnd(octet);
      case TRAILER_SECTION -> {
        if (fieldLine.accept(octet)) {
          endResponse();
        }
      }
      default -> throw new IllegalStateException("content is ahead");
    }
  }

  @Override
  public long contentAhead() {
    return contentAhead;
  }

  @Override
  public void skipContent(long octets) {
    atEnd = false;
    if (contentAhead == Long.MAX_VALUE) {
      return;
    }
    contentAhead -= octets;
    if (contentAhead == 0 && part == Part.CONTENT) {
      endResponse();
    } else if (contentAhead == 0) {
      chunkLineEnding = false;
      part = Part.CHUNK_END;
    }
  }

  @Override
  public boolean atEnd() {
    return atEnd;
  }

  @Override
  public void endOfInput() {
    if (contentAhead == Long.MAX_VALUE) {
      endResponse();
    }
    ResponseFault.CUT.unless(!inResponse());
  }

  @Override
  public boolean inResponse() {
    return part != Part.STATUS_LINE || statusLine.begun();
  }

  private void endHead() {
    int status = statusLine.status();
    ResponseFault.UPGRADE.unless(status != SWITCHING_PROTOCOLS);
    framing.check(statusLine.minorVersion());
    if (status < FIRST_FINAL_STATUS) {
      restart();
    } else if (status == NO_CONTENT || status == NOT_MODIFIED || answersHead.getAsBoolean()) {
      endResponse();
    } else if (framing.chunked()) {
      chunkLine.restart();
      part = Part.CHUNK_LINE;
    } else if (framing.length() == 0) {
      endResponse();
    } else {
      part = Part.CONTENT;
      boolean untilClose = framing.length() == ResponseFraming.UNTIL_CLOSE;
      contentAhead = untilClose ? Long.MAX_VALUE : framing.length();
    }
  }

  private void beginChunk(long size) {
    if (size == 0) {
      fieldLine.restart(new ResponseFraming());
      part = Part.TRAILER_SECTION;
    } else {
      contentAhead = size;
      part = Part.CHUNK_CONTENT;
    }
  }

  private void acceptChunkEnd(byte octet) {
    ResponseFault.CHUNK.unless(octet == (chunkLineEnding ? Octets.LF : Octets.CR));
    if (chunkLineEnding) {
      chunkLine.restart();
      part = Part.CHUNK_LINE;
    }
    chunkLineEnding = true;
  }

  private void endResponse() {
    restart();
    atEnd = true;
  }

  private void restart() {
    statusLine.restart();
    contentAhead = 0;
    part = Part.STATUS_LINE;
  }
}
