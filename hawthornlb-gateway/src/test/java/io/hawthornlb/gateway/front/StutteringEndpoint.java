package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.ScriptedEndpoint;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Endpoint on loopback that may answer a request badly, or more than once, and keeps account. */
final class StutteringEndpoint implements AutoCloseable {

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final Script script;
  private final Map<String, SentAnswer> answers = new ConcurrentHashMap<>();

  /** Bytes that the endpoint sends; they may be without end. */
  interface Bytes {

    void writeTo(OutputStream out) throws IOException, InterruptedException;

    static Bytes of(String text) {
      return out -> out.write(text.getBytes(StandardCharsets.UTF_8));
    }
  }

  /** What follows the bytes of an answer. */
  enum End {
    KEEP,
    CLOSE,
    RESET,
    /** No byte follows, and the connection stays open. */
    SILENCE
  }

  /**
   * What the endpoint does with a request.
   *
   * @param answer the answer as the endpoint means it
   * @param now bytes that are sent at once
   * @param late bytes that are sent before those of the next answer on the connection
   */
  record Reply(SentAnswer answer, List<Bytes> now, List<Bytes> late, End end) {}

  /** Decides what the endpoint does with a request; called by several threads. */
  interface Script {

    /**
     * Returns the reply to a request.
     *
     * @param earlier the answers on the same connection
     */
    Reply reply(String id, String method, String path, List<SentAnswer> earlier);
  }

  StutteringEndpoint(Script script) throws IOException {
    this.script = script;
    start(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  /** Returns the answers so far by their signatures. */
  Map<String, SentAnswer> answers() {
    return answers;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    List<SentAnswer> earlier = new ArrayList<>();
    List<Bytes> late = List.of();
    try (socket) {
      while (true) {
        String request = ScriptedEndpoint.read(socket.getInputStream());
        if (request.isEmpty()) {
          return;
        }
        String[] line = request.split(" ", 3);
        String id = request.replaceFirst("(?is).*test-id: (\\S+).*", "$1");
        Reply reply = script.reply(id, line[0], line[1], List.copyOf(earlier));
        answers.put(reply.answer().signature(), reply.answer());
        earlier.add(reply.answer());
        List<Bytes> all = new ArrayList<>(late);
        all.addAll(reply.now());
        for (Bytes each : all) {
          each.writeTo(socket.getOutputStream());
        }
        late = reply.late();
        if (reply.end() == End.SILENCE) {
          socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        }
        if (reply.end() == End.RESET) {
          socket.setSoLinger(true, 0);
        }
        if (reply.end() != End.KEEP) {
          return;
        }
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "stuttering-endpoint");
    thread.setDaemon(true);
    thread.start();
  }
}
