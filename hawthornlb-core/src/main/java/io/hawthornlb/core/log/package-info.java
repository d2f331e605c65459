/** Records of the platform log and the contract of whatever folds them. */
@NullMarked
package io.hawthornlb.core.log;

import org.jspecify.annotations.NullMarked;
