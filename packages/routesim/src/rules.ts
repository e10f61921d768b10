import type { Rule } from './rule.js';
import { BudgetedRule } from './rules/budgeted.js';
import { ConfigAcksRule } from './rules/configacks.js';
import { ConfigBackRule } from './rules/configback.js';
import { ConfigLateRule } from './rules/configlate.js';
import { DrainingRule } from './rules/draining.js';
import { HistoryRule } from './rules/history.js';
import { MixedRule } from './rules/mixed.js';
import { OneHolderRule } from './rules/oneholder.js';
import { OrderedRule } from './rules/ordered.js';
import { RecoveredRule } from './rules/recovered.js';
import { RefusedRule } from './rules/refused.js';
import { RoutedRule } from './rules/routed.js';
import { TornRule } from './rules/torn.js';
import { UnaskedRule } from './rules/unasked.js';
import { TwiceRule } from './rules/twice.js';

/** All that is judged. */
export const Rules: readonly Rule[] = [
  ...[TwiceRule, RefusedRule, RoutedRule, DrainingRule, TornRule, ConfigLateRule, ConfigBackRule, ConfigAcksRule],
  ...[BudgetedRule, OrderedRule, MixedRule, OneHolderRule, RecoveredRule, HistoryRule, UnaskedRule],
];
