import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 message on a stream: its first line, its headers in lower case, and its body. */
final class HttpMessage {

  final String firstLine;
  final Map<String, String> headers;
  byte[] body = new byte[0];

  private HttpMessage(String firstLine, Map<String, String> headers) {
    this.firstLine = firstLine;
    this.headers = headers;
  }

  /** Reads the head of a message; null at the end of the stream. */
  static HttpMessage readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    return new HttpMessage(first, headers);
  }

  /** Reads a whole message; null at the end of the stream. */
  static HttpMessage read(InputStream in) throws IOException {
    HttpMessage message = readHead(in);
    if (message == null) {
      return null;
    }
    if (message.chunked()) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
        body.writeBytes(chunk);
      }
      message.body = body.toByteArray();
    } else {
      int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
      message.body = in.readNBytes(length);
      if (message.body.length < length) {
        throw new EOFException("body cut off");
      }
    }
    return message;
  }

  boolean chunked() {
    return headers.getOrDefault("transfer-encoding", "").toLowerCase(Locale.ROOT).equals("chunked");
  }

  String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }

  String method() {
    return firstLine.split(" ")[0];
  }

  /** Returns the target of a request. */
  String target() {
    return firstLine.split(" ")[1];
  }

  /** Returns the status of a response. */
  int status() {
    return Integer.parseInt(firstLine.split(" ")[1]);
  }

  /** Reads one chunk; an empty one is the last. */
  static byte[] readChunk(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      throw new EOFException("chunks cut off");
    }
    int length = Integer.parseInt(line.split(";")[0].trim(), 16);
    byte[] chunk = in.readNBytes(length);
    if (chunk.length < length || readLine(in) == null) {
      throw new EOFException("chunk cut off");
    }
    return chunk;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("line cut off");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }
}
