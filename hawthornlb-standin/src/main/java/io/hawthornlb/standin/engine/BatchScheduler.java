package io.hawthornlb.standin.engine;

import java.util.List;

/**
 * Schedules the steps of an engine with continuous batching.
 *
 * <p>At the start of a step, the scheduler admits waiting sequences in order of arrival, as long as
 * a slot is free and the KV cache has space for the full final context of the next sequence. A step
 * prefills at most one chunk of prompt tokens, starting with the oldest sequence, and decodes one
 * token for each sequence whose prompt was fully prefilled before the step. A sequence whose
 * prefill completes in a step gets its first token in the same step. A sequence that has all its
 * tokens releases its slot at the end of the step.
 *
 * <p>Not thread-safe: one thread makes all calls.
 */
public interface BatchScheduler {

  /** Adds a sequence to the end of the waiting queue. */
  void submit(SequenceSpec sequence);

  /** Removes a waiting or running sequence and returns whether the id was present. */
  boolean cancel(String id);

  /** Runs a step. A step without running sequences has a duration of zero. */
  Step step();

  /** Returns the load after the last step. */
  BatchLoad load();

  /**
   * A sequence to generate.
   *
   * @param id the id, unique among the waiting and running sequences
   * @param prompt the prompt
   * @param done the number of answer tokens generated before the sequence is submitted
   * @param contextReady whether the KV cache already holds the context of the prompt and of the
   *     tokens generated so far, as after an import or a cancellation, so that no prefill is needed
   * @param total the number of tokens in the complete answer
   */
  record SequenceSpec(String id, Prompt prompt, int done, boolean contextReady, int total) {

    /** Returns the number of context tokens that the sequence holds when its answer is complete. */
    public int finalContext() {
      return prompt.tokens() + total;
    }
  }

  /**
   * The result of a step.
   *
   * @param nanos the emulated duration of the step in nanoseconds
   * @param tokens the ids of the sequences for which the step generated a token
   * @param finished the ids of the sequences that the step completed
   */
  record Step(long nanos, List<String> tokens, List<String> finished) {

    /** Creates a step with immutable copies of the lists. */
    public Step {
      tokens = List.copyOf(tokens);
      finished = List.copyOf(finished);
    }
  }

  /**
   * The load of the engine.
   *
   * @param running the number of sequences that hold a slot
   * @param waiting the number of sequences that wait for a slot
   * @param kvUsedTokens the number of KV cache tokens reserved by the running sequences
   */
  record BatchLoad(int running, int waiting, int kvUsedTokens) {}
}
