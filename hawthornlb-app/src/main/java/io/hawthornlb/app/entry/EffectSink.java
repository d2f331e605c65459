package io.hawthornlb.app.entry;

import io.hawthornlb.core.effect.Effect;
import java.util.List;

/** Carries out effects that leave the instance; called on the decision loop. */
public interface EffectSink {

  /** Carries out effects in their order. */
  void perform(List<Effect> effects);
}
