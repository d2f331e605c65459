package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.front.SentAnswer.Framing;
import io.hawthornlb.gateway.front.SentAnswer.Naming;
import io.hawthornlb.gateway.front.StutteringEndpoint.Bytes;
import io.hawthornlb.gateway.front.StutteringEndpoint.End;
import io.hawthornlb.gateway.front.StutteringEndpoint.Reply;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws for each request an answer, what becomes of its bytes, and what follows them. */
final class DrawnReplies implements StutteringEndpoint.Script {

  private static final int LARGE = 80_000;

  private final Random random;
  private final String endpoint;
  private final List<Follower> followers;
  private int runs;

  /** A kind of bytes that may follow an answer. */
  interface Follower {

    /**
     * Returns the bytes.
     *
     * @param sent the answers on the connection; the last one is that which is followed
     */
    Bytes bytes(Random random, List<SentAnswer> sent);
  }

  /** Creates a script whose answers are followed by none or one of the given kinds of bytes. */
  DrawnReplies(long seed, String endpoint, List<Follower> followers) {
    this.random = new Random(seed);
    this.endpoint = endpoint;
    this.followers = followers;
  }

  /** Returns the usual followers: a copy, a copy of an older answer, and bytes. */
  static List<Follower> copiesAndBytes() {
    return List.of(
        (random, sent) -> copy(random, sent.get(sent.size() - 1)),
        (random, sent) -> copy(random, pick(random, sent)),
        (random, sent) -> Bytes.of(letters(random)));
  }

  @Override
  public synchronized Reply reply(String id, String method, String path, List<SentAnswer> earlier) {
    String signature = endpoint + "-" + runs++;
    int status = pick(random, List.of(200, 200, 500));
    boolean large = random.nextInt(8) == 0;
    String body = (signature + letters(random)).repeat(large ? LARGE / 16 : 1);
    SentAnswer answer = new SentAnswer(id, method, path, status, signature, body);
    Framing framing = Framing.values()[random.nextInt(3)];
    String text = answer.text(Naming.OWN, framing);
    boolean kept = framing != Framing.NEITHER || method.equals("HEAD");
    return switch (random.nextInt(12)) {
      case 0 -> new Reply(answer, List.of(Bytes.of(cut(text))), List.of(), End.RESET);
      case 1 -> {
        End end = framing == Framing.NEITHER ? End.SILENCE : End.CLOSE;
        yield new Reply(answer, List.of(Bytes.of(cut(text))), List.of(), end);
      }
      case 2 -> followed(answer, spoiled(text), earlier, kept);
      case 3 -> new Reply(answer, List.of(), List.of(), pick(random, List.of(End.values())));
      default -> followed(answer, text, earlier, kept);
    };
  }

  private Reply followed(SentAnswer answer, String text, List<SentAnswer> earlier, boolean kept) {
    Bytes own = Bytes.of(text);
    End end = kept ? End.KEEP : End.CLOSE;
    if (!kept || random.nextBoolean() || followers.isEmpty()) {
      return new Reply(answer, List.of(own), List.of(), end);
    }
    List<SentAnswer> sent = new ArrayList<>(earlier);
    sent.add(answer);
    Bytes following = pick(random, followers).bytes(random, sent);
    return random.nextBoolean()
        ? new Reply(answer, List.of(own, following), List.of(), end)
        : new Reply(answer, List.of(own), List.of(following), end);
  }

  private static Bytes copy(Random random, SentAnswer of) {
    String text = of.text(pick(random, Naming.values()), pick(random, Framing.values()));
    return Bytes.of(
        random.nextInt(4) == 0 ? text.substring(0, random.nextInt(text.length())) : text);
  }

  private String cut(String text) {
    return text.substring(0, random.nextInt(text.length()));
  }

  /** Puts bytes into the status line. */
  private String spoiled(String text) {
    int at = random.nextInt(9);
    return text.substring(0, at) + letters(random) + text.substring(at);
  }

  private static String letters(Random random) {
    return random.ints(8, 'a', 'z').mapToObj(Character::toString).reduce("", String::concat);
  }

  private static <T> T pick(Random random, List<T> from) {
    return from.get(random.nextInt(from.size()));
  }

  @SafeVarargs
  private static <T> T pick(Random random, T... from) {
    return pick(random, List.of(from));
  }
}
