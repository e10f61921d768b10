import type { NeverRule } from './neverrule.js';
import { Again } from './rules/again.js';
import { BackRule } from './rules/back.js';
import { Extra } from './rules/extra.js';
import { Hold } from './rules/hold.js';
import { Leaving } from './rules/leaving.js';
import { Loser } from './rules/loser.js';
import { Lost } from './rules/lostrule.js';
import { Memory } from './rules/memory.js';
import { NotRun } from './rules/notrun.js';
import { Orders } from './rules/orders.js';
import { Twice } from './rules/twice.js';
import { Whole } from './rules/whole.js';

/** The twelve things that must never happen, in the brief's order. */
export const Nevers: readonly NeverRule[] = [
  Twice,
  NotRun,
  Whole,
  Memory,
  Leaving,
  Hold,
  BackRule,
  Lost,
  Loser,
  Extra,
  Orders,
  Again,
];
