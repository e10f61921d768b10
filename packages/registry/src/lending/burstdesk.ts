import type { PostBox } from '@pumicebarrow/forms';
import type { CoreState } from '../state/corestate.js';
import type { View } from '../consensus/view.js';
import type { Burst } from './burst.js';
import { BurstSummary } from './burstsummary.js';
import { BurstMessages } from './burstwords.js';

type Hooks = { view: () => View | null; read: () => CoreState | null };

const bare = (b: Burst): Burst => ({
  ...b,
  generations: b.generations.map(({ text: _text, ...g }) => g),
});

/** Where bursts are read, at the tail under its lease alone, as the charter is. */
export const BurstService = {
  make(post: PostBox, h: Hooks): void {
    post.on('core.burst', BurstMessages.readRequest, (body) => {
      const s = h.read();
      if (!s) return { ok: false, view: h.view(), list: [], burst: null };
      const all = s.bursts ?? [],
        one = all.find((b) => b.spec.key === body.key) ?? null;
      const burst = one && body.texts !== true ? bare(one) : one;
      const listed = body.key === undefined ? all : one ? [one] : [];
      return { ok: true, view: h.view(), list: listed.map((b) => BurstSummary.of(b)), burst };
    });
  },
};
