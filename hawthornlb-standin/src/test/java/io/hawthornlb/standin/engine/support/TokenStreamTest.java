package io.hawthornlb.standin.engine.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.standin.engine.ChatMessage;
import io.hawthornlb.standin.engine.Prompt;
import io.hawthornlb.standin.engine.StreamListener;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TokenStreamTest {

  private static final List<ChatMessage> CHAT = List.of(new ChatMessage("user", "hello"));

  private final TokenStream stream = new TokenStream("r", "m", CHAT, Prompt.of(CHAT), 4);
  private final List<String> seen = new ArrayList<>();

  private StreamListener listener(Runnable onEvent) {
    return new StreamListener() {
      @Override
      public void token(int index) {
        seen.add("token " + index);
        onEvent.run();
      }

      @Override
      public void end(Ending ending) {
        seen.add(ending.toString());
        onEvent.run();
      }
    };
  }

  /**
   * A caller hangs up while two read a stream: the reader that has gone leaves from within the
   * token that finds it gone. The engine's loop broke on its own list of readers, and the call that
   * cancelled the stream answered 500.
   */
  @Test
  void readersMayLeaveWhileTheyAreTold() {
    StreamListener[] gone = new StreamListener[1];
    gone[0] = listener(() -> stream.leave(gone[0]));
    stream.read(0, gone[0]);
    stream.read(0, listener(() -> {}));

    stream.add(0);
    stream.add(0);
    stream.cancel();

    assertEquals(List.of("token 0", "token 0", "token 1", "CANCELLED"), seen);
  }

  /**
   * A preempted stream is cancelled and resumed within one step of the engine. The token of the
   * step that was under way counts for neither run; counted, the answer would end one token early.
   */
  @Test
  void tokensOfTheRunBeforeDoNotCount() {
    assertTrue(stream.add(0));
    assertEquals(1, stream.cancel());
    assertTrue(stream.resume());

    assertFalse(stream.add(0));
    assertTrue(stream.add(1));
    assertEquals(2, stream.generated());
  }

  @Test
  void lateReadersGetAllFromTheirIndex() {
    for (int token = 0; token < 4; token++) {
      stream.add(0);
    }
    stream.read(2, listener(() -> {}));

    assertEquals(List.of("token 2", "token 3", "COMPLETE"), seen);
    assertEquals(Optional.of(StreamListener.Ending.COMPLETE), stream.ending());
    assertFalse(stream.resume());
  }
}
