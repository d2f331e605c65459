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
  private static final String ASK =
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

  // Something between entry and engine loses track of their connection in the middle of a stream:
  // it stays open and no byte comes, while new connections work. The caller would wait until the
  // deadline; it must get every token once and the end marker.
  @Test
  void aStreamGoesOnOverAnotherConnectionWhenItsOwnFallsSilent() throws Exception {
    BufferedReader stream = open();
    String begun = stream.readLine();

    fleet.fault(engine, "silent");
    String all = begun + rest(stream);

    assertTrue(all.trim().endsWith(END), all);
    List<Integer> tokens =
        TOKEN.matcher(all).results().map(match -> Integer.valueOf(match.group(1))).toList();
    assertEquals(IntStream.rangeClosed(0, TOKENS).boxed().toList(), tokens);
  }

  // The engine dies in the middle of a stream. The caller has a part of the answer and must not
  // take it for the whole: the stream ends without the end marker.
  @Test
  void aPartOfAnAnswerNeverLooksWhole() throws Exception {
    BufferedReader stream = open();
    String begun = stream.readLine();

    engine.close();

    assertFalse((begun + rest(stream)).contains(END));
  }

  private BufferedReader open() throws Exception {
    return new BufferedReader(
        new InputStreamReader(
            fleet.stream(TestFleet.chat(entry, ASK)).get(30, TimeUnit.SECONDS).body(),
            StandardCharsets.UTF_8));
  }

  private static String rest(BufferedReader stream) {
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
