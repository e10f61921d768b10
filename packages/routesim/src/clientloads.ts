import { Random, type RandomSource } from '@pumicebarrow/forms';
import type { Prompt } from '@pumicebarrow/router';
import { Bounds } from './bounds.js';
import type { ClientLoad } from './clientload.js';
import type { RequestKind } from './requestkind.js';

const SHARED = 10;
const shortPrompt = (chance: RandomSource, n: number): Prompt => {
  const shared = Random.int(chance, SHARED),
    head = 500 + shared * 120,
    own = 80 + Random.int(chance, 900);
  const parts = [
    { id: `s${shared}`, tokens: head },
    { id: `o${n}`, tokens: own },
  ];
  return { model: 'm', tokens: head + own, most: 8 + Random.int(chance, 70), parts };
};
/** Prompts of which a part is shared by a subject's requests; the rest, and the output, vary widely round a mean. */
const longPrompt =
  (name: string, subjects: number, shared: number, own: number, output: number) =>
  (chance: RandomSource, n: number): Prompt => {
    const spread = (mean: number): number => Math.max(1, Math.round(Math.min(6, -Math.log(1 - chance.real())) * mean));
    const tokens = spread(own);
    const parts = [
      { id: `${name}-${Random.int(chance, subjects)}`, tokens: shared },
      { id: `o${n}`, tokens },
    ];
    return { model: 'm', tokens: shared + tokens, most: spread(output), parts };
  };
const { deadline } = Bounds;
const REVIEW: RequestKind = {
  ...{ path: '/code/', kind: 'stream', resumable: true, deadline },
  prompt: longPrompt('review', 38, 5382, 6610, 384),
};
const BRIEF: RequestKind = {
  ...{ path: '/chat/', kind: 'stream', resumable: false, deadline },
  prompt: longPrompt('brief', 154, 198, 628, 288),
};
const VERDICT: RequestKind = {
  ...{ path: '/code/', kind: 'stream', resumable: true, deadline: 2500 },
  prompt: longPrompt('verdict', 58, 568, 1800, 22),
};

const PRODUCTION = [REVIEW, REVIEW, BRIEF, BRIEF, BRIEF, BRIEF, VERDICT, VERDICT, VERDICT] as const;

/** What clients ask for in a run. */
export const ClientLoads = {
  light: {
    ...{ perSecond: 14, tries: 4 },
    kinds: [
      { path: '/chat/', kind: 'stream', resumable: false, prompt: shortPrompt, deadline },
      { path: '/code/', kind: 'stream', resumable: true, prompt: shortPrompt, deadline },
      { path: '/embed/', kind: 'idempotent', resumable: false, deadline },
      { path: '/once/', kind: 'once', resumable: false, deadline },
    ],
  },
  /** Long reviews, short briefs and brief verdicts: what six large servers bear. */
  production: {
    ...{ perSecond: 40, tries: 2 },
    kinds: PRODUCTION,
  },
  /** The same, and most of it by one tenant. */
  crowded: {
    ...{ perSecond: 40, tries: 2, crowd: 7 },
    kinds: PRODUCTION,
  },
} as const satisfies Record<string, ClientLoad>;
