/** Instructions of the decision core to its adapters. */
@NullMarked
package io.hawthornlb.core.effect;

import org.jspecify.annotations.NullMarked;
