package io.hawthornlb.standin.engine;

import java.util.List;

/**
 * Decides what each step of a continuously batching engine does.
 *
 * <p>At the start of a step, waiting sequences are admitted first come, first served while a slot
 * and room for their whole context are free. A step prefills at most a chunk of prompt tokens,
 * oldest sequence first, and decodes one token of each sequence whose prompt was whole before the
 * step. A prompt that becomes whole yields its first token in the same step. A sequence that has
 * all its tokens frees its slot at the end of the step.
 *
 * <p>Confined to one thread.
 */
public interface BatchScheduler {

  /** Adds a sequence to those that wait. */
  void submit(SequenceSpec sequence);

  /** Removes a sequence wherever it is, and returns whether there was one. */
  boolean cancel(String id);

  /** Runs a step; one without any sequence takes no time. */
  Step step();

  /** Returns the load after the last step. */
  BatchLoad load();

  /**
   * A sequence to generate.
   *
   * @param id unique among the sequences present
   * @param prompt its prompt
   * @param done tokens of the answer that exist already, with their context
   * @param contextReady whether the context of prompt and answer so far is at hand, as after an
   *     import or a cancellation
   * @param total tokens of the whole answer
   */
  record SequenceSpec(String id, Prompt prompt, int done, boolean contextReady, int total) {

    /** Returns the tokens of context that it holds at its end. */
    public int finalContext() {
      return prompt.tokens() + total;
    }
  }

  /**
   * What a step did.
   *
   * @param nanos how long it takes
   * @param tokens ids of the sequences that got a token
   * @param finished ids of the sequences that ended with it
   */
  record Step(long nanos, List<String> tokens, List<String> finished) {

    /** Copies the lists. */
    public Step {
      tokens = List.copyOf(tokens);
      finished = List.copyOf(finished);
    }
  }

  /**
   * How full the engine is.
   *
   * @param running sequences in slots
   * @param waiting sequences without a slot
   * @param kvUsedTokens tokens reserved by the running sequences
   */
  record BatchLoad(int running, int waiting, int kvUsedTokens) {}
}
