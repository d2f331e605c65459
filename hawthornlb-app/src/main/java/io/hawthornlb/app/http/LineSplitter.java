package io.hawthornlb.app.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Splits the buffers of one request body into lines; a line may span several buffers. */
final class LineSplitter {

  private static final byte LINE_FEED = '\n';

  private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

  /**
   * Returns the lines of a body, including an unterminated last line.
   *
   * <p>The result may be subscribed to only once, because the splitter keeps the partial line.
   */
  Flux<String> lines(Flux<byte[]> buffers) {
    return buffers
        .concatMapIterable(this::split)
        .concatWith(
            Mono.defer(
                () -> partialLine.size() == 0 ? Mono.empty() : Mono.just(takePartialLine())));
  }

  private List<String> split(byte[] buffer) {
    List<String> lines = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < buffer.length; i++) {
      if (buffer[i] == LINE_FEED) {
        partialLine.write(buffer, start, i - start);
        lines.add(takePartialLine());
        start = i + 1;
      }
    }
    partialLine.write(buffer, start, buffer.length - start);
    return lines;
  }

  private String takePartialLine() {
    String line = partialLine.toString(StandardCharsets.UTF_8);
    partialLine.reset();
    return line;
  }
}
