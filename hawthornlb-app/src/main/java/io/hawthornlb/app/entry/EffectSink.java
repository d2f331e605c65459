package io.hawthornlb.app.entry;

import io.hawthornlb.core.effect.Effect;
import java.util.List;

/** Performs effects outside the decision logic. Called on the decision loop. */
public interface EffectSink {

  /** Performs the effects in the given order. */
  void perform(List<Effect> effects);
}
