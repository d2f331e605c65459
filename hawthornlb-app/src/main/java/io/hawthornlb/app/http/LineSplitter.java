package io.hawthornlb.app.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Cuts the buffers of one body into lines, whatever the places where the buffers end. */
final class LineSplitter {

  private static final byte LINE_FEED = '\n';

  private final ByteArrayOutputStream rest = new ByteArrayOutputStream();

  /** Returns the lines of a body; one subscription only. */
  Flux<String> lines(Flux<byte[]> buffers) {
    return buffers
        .concatMapIterable(this::split)
        .concatWith(Mono.defer(() -> rest.size() == 0 ? Mono.empty() : Mono.just(take())));
  }

  private List<String> split(byte[] buffer) {
    List<String> lines = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < buffer.length; i++) {
      if (buffer[i] == LINE_FEED) {
        rest.write(buffer, start, i - start);
        lines.add(take());
        start = i + 1;
      }
    }
    rest.write(buffer, start, buffer.length - start);
    return lines;
  }

  private String take() {
    String line = rest.toString(StandardCharsets.UTF_8);
    rest.reset();
    return line;
  }
}
