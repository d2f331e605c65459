package io.hawthornlb.app.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.standin.RunningStandin;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class EntryStreamFailureTest {

  private static final int TOKENS = 300;
  private static final String END = "data: [DONE]";
  private static final Pattern TOKEN = Pattern.compile("\"hawthornlb_token\":(\\d+)");
  private static final String CHAT_REQUEST =
      "{\"model\":\"brief-llm\",\"stream\":true,\"max_tokens\":"
          + TOKENS
          + ",\"messages\":[{\"role\":\"user\",\"content\":\"Which shoes?\"}]}";

  private TestFleet fleet;
  private RunningStandin engine;
  private EntryProcess entry;

  @BeforeEach
  void startFleet() {
    fleet = new TestFleet();
    engine = fleet.addEngine("engine-1");
    entry = fleet.addEntry("entry-1");
    fleet.putCatalogue(entry);
    fleet.awaitReady(entry);
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  // A network device between the entry instance and the engine loses the state of their connection
  // in
  // the middle of a stream. The connection stays open without delivering data, while new
  // connections
  // work. The caller must not wait until the deadline: it must receive every token once, and the
  // end
  // marker.
  @Test
  void streamResumesOverNewConnectionWhenItsOwnStalls() throws Exception {
    BufferedReader stream = open();
    String firstLine = stream.readLine();

    fleet.fault(engine, "silent");
    String all = firstLine + readRest(stream);

    assertTrue(all.trim().endsWith(END), all);
    List<Integer> tokens =
        TOKEN.matcher(all).results().map(match -> Integer.valueOf(match.group(1))).toList();
    assertEquals(IntStream.rangeClosed(0, TOKENS).boxed().toList(), tokens);
  }

  // The engine stops in the middle of a stream, when the caller has received a part of the answer.
  // The
  // stream must end without the end marker, so that the caller does not take the part for a
  // complete
  // answer.
  @Test
  void partialAnswerHasNoEndMarker() throws Exception {
    BufferedReader stream = open();
    String firstLine = stream.readLine();

    engine.close();

    assertFalse((firstLine + readRest(stream)).contains(END));
  }

  /** Guards against a stream that goes on at an engine of another version under the same id. */
  @Test
  void streamGoesOnAtNoOtherVersion() throws Exception {
    BufferedReader stream = open();
    String firstLine = stream.readLine();

    fleet.replaceEngine(engine, "engine-1", "v2");

    assertFalse((firstLine + readRest(stream)).contains(END));
  }

  private BufferedReader open() throws Exception {
    return new BufferedReader(
        new InputStreamReader(
            fleet.stream(TestFleet.chat(entry, CHAT_REQUEST)).get(30, TimeUnit.SECONDS).body(),
            StandardCharsets.UTF_8));
  }

  private static String readRest(BufferedReader stream) {
    StringBuilder read = new StringBuilder();
    try {
      for (String line = stream.readLine(); line != null; line = stream.readLine()) {
        read.append(line).append('\n');
      }
    } catch (IOException e) {
      read.append("connection ended");
    }
    return read.toString();
  }
}
