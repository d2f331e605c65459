/** What the decision core asks its adapters to do. */
@NullMarked
package io.hawthornlb.core.effect;

import org.jspecify.annotations.NullMarked;
