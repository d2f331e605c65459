/** Requests that run at most once: durable intents, witnesses, outcomes and truthful refusals. */
@NullMarked
package io.hawthornlb.core.runonce;

import org.jspecify.annotations.NullMarked;
