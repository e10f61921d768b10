import type { Messenger } from '@pumicebarrow/forms';
import type { CoreState } from '../state/corestate.js';
import type { View } from '../consensus/view.js';
import type { Burst } from './burst.js';
import { BurstSummary } from './burstsummary.js';
import { BurstMessages } from './burstmessages.js';

type Hooks = { view: () => View | null; read: () => CoreState | null };

const withoutTexts = (burst: Burst): Burst => ({
  ...burst,
  generations: burst.generations.map(({ text: _text, ...g }) => g),
});

/** Serves reads of bursts, only at the tail and under its lease, like reads of the configuration. */
export const BurstService = {
  make(post: Messenger, hooks: Hooks): void {
    post.on('core.burst', BurstMessages.readRequest, (body) => {
      const state = hooks.read();
      if (!state) return { ok: false, view: hooks.view(), list: [], burst: null };
      const bursts = state.bursts ?? [],
        found = bursts.find((b) => b.spec.key === body.key) ?? null;
      const burst = found && body.texts !== true ? withoutTexts(found) : found;
      const listed = body.key === undefined ? bursts : found ? [found] : [];
      return { ok: true, view: hooks.view(), list: listed.map((b) => BurstSummary.of(b)), burst };
    });
  },
};
