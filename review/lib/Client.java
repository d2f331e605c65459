package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for a client of batch jobs; makes each call on a new channel. */
public final class Client {

  /** Host of the batch route. */
  public static final String HOST = "ficu95.example";

  private static final int CONNECT_MILLIS = 1_000;
  private static final int READ_MILLIS = 6_000;
  private static final Pattern RESULT =
      Pattern.compile("\"Id\":\"([^\"]*)\",\"State\":\"([^\"]*)\",\"Text\":\"([^\"]*)\"");

  /** An answer; status 0 if there was no complete one. */
  public record Answer(int status, String body) {}

  /** A page of results, or another status. */
  public record Page(int status, List<Result> results) {}

  /** A listed item. */
  public record Result(String id, String state, String text) {}

  private Client() {}

  /** Submits a job whose items have their ids as bodies; returns the status. */
  public static int submit(Gateway at, String job, String path, List<String> items) {
    StringBuilder body = new StringBuilder("{\"Items\":[");
    for (int i = 0; i < items.size(); i++) {
      String item = items.get(i);
      body.append(i == 0 ? "" : ",");
      body.append("{\"Id\":\"").append(item).append("\",\"Path\":\"").append(path).append(item);
      body.append("\",\"Headers\":{\"X-Model\":\"m\",\"X-Token-Counts\":\"100,20\",");
      body.append("\"X-Prompt-Prefix\":\"").append(item).append(":100\"},\"Body\":\"");
      body.append(Base64.getEncoder().encodeToString(item.getBytes(StandardCharsets.UTF_8)));
      body.append("\",\"Tokens\":120}");
    }
    String headers = "X-Request-Id: " + job + "\r\nContent-Type: application/json\r\n";
    return call(at, "POST", path + job, headers, body.append("]}").toString()).status();
  }

  /** Reads results from a position on. */
  public static Page read(Gateway at, String job, int after) {
    Answer answer = call(at, "GET", "/lots/" + job + "?After=" + after, "X-Wait-Ms: 1000\r\n", "");
    List<Result> results = new ArrayList<>();
    Matcher matcher = RESULT.matcher(answer.body());
    while (answer.status() == 200 && matcher.find()) {
      results.add(new Result(matcher.group(1), matcher.group(2), matcher.group(3)));
    }
    return new Page(answer.status(), results);
  }

  private static Answer call(Gateway at, String method, String path, String headers, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\n" + headers
            + "Connection: close\r\nContent-Length: " + bytes.length + "\r\n\r\n";
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), at.front()), CONNECT_MILLIS);
      socket.setSoTimeout(READ_MILLIS);
      OutputStream out = socket.getOutputStream();
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(bytes);
      out.flush();
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      int end = answer.indexOf("\r\n\r\n");
      return end < 0
          ? new Answer(0, "")
          : new Answer(Integer.parseInt(answer.substring(9, 12)), answer.substring(end + 4));
    } catch (IOException e) {
      return new Answer(0, "");
    }
  }
}
