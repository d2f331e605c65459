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
  private final List<String> received = new ArrayList<>();

  private StreamListener listener(Runnable onEvent) {
    return new StreamListener() {
      @Override
      public void token(int index) {
        received.add("token " + index);
        onEvent.run();
      }

      @Override
      public void end(Ending ending) {
        received.add(ending.toString());
        onEvent.run();
      }
    };
  }

  /**
   * Guards against a concurrent modification of the listener list. One of two readers disconnects
   * and its listener unsubscribes during the notification that detects this. A plain list then
   * fails in the engine loop, and the request that cancels the stream gets status 500.
   */
  @Test
  void listenersMayUnsubscribeDuringANotification() {
    StreamListener[] disconnected = new StreamListener[1];
    disconnected[0] = listener(() -> stream.unsubscribe(disconnected[0]));
    stream.subscribe(0, disconnected[0]);
    stream.subscribe(0, listener(() -> {}));

    stream.add(0);
    stream.add(0);
    stream.cancel();

    assertEquals(List.of("token 0", "token 0", "token 1", "CANCELLED"), received);
  }

  /**
   * Guards against counting a token of an earlier run. A preempted stream is cancelled and resumed
   * within one step of the engine. The token of that step belongs to neither run; if the stream
   * counted it, the answer would end one token early.
   */
  @Test
  void tokensOfAnEarlierRunAreIgnored() {
    assertTrue(stream.add(0));
    assertEquals(1, stream.cancel());
    assertTrue(stream.resume());

    assertFalse(stream.add(0));
    assertTrue(stream.add(1));
    assertEquals(2, stream.generated());
  }

  @Test
  void lateListenersReceiveAllTokensFromTheirIndex() {
    for (int token = 0; token < 4; token++) {
      stream.add(0);
    }
    stream.subscribe(2, listener(() -> {}));

    assertEquals(List.of("token 2", "token 3", "COMPLETE"), received);
    assertEquals(Optional.of(StreamListener.Ending.COMPLETE), stream.ending());
    assertFalse(stream.resume());
  }

  /**
   * Guards against a run that is counted as ended twice, by its cancellation and its last token.
   */
  @Test
  void endsEachRunOnce() {
    assertTrue(stream.endRun(0));
    assertFalse(stream.endRun(0));
    stream.cancel();
    assertTrue(stream.resume());
    assertTrue(stream.endRun(1));
    assertFalse(stream.endRun(1));
  }
}
