/** Records of the configuration stream and the rule that decides which manifests are accepted. */
@NullMarked
package org.hickorycleat.model.configuration;

import org.jspecify.annotations.NullMarked;
