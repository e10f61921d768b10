import type { Bent } from './bent.js';

type Mutant = { bent: Bent; drill: string; rule: string; says: string };

/** Runs that are broken on purpose, each with the rule that must say so, and a word of what it says. */
export const Mutants: readonly Mutant[] = [
  { bent: 'denies', drill: 'answers_lost', rule: 'TWICE', says: 'ran at' },
  { bent: 'denies', drill: 'garbles', rule: 'REFUSED', says: 'ran at' },
  { bent: 'anykey', drill: 'revoke', rule: 'CONFIG in force', says: 'less than' },
  { bent: 'anykey', drill: 'config_change', rule: 'ROUTE', says: 'never held' },
  { bent: 'passeskey', drill: 'steady', rule: 'UNASKED', says: 'with the key' },
  { bent: 'wrongtenant', drill: 'steady', rule: 'UNASKED', says: 'as of' },
  { bent: 'nolife', drill: 'addr_taken', rule: 'ROUTE', says: 'ran at' },
  { bent: 'hidesdrain', drill: 'release_all', rule: 'DRAIN', says: 'reached' },
  { bent: 'rashterm', drill: 'roll_term', rule: 'LOST', says: 'was cut' },
  { bent: 'hollowack', drill: 'config_leap', rule: 'CONFIG in force', says: 'less than' },
  { bent: 'falselost', drill: 'config_change', rule: 'CONFIG in force', says: 'what lost' },
  { bent: 'mixedfronts', drill: 'island_change', rule: 'CONFIG back', says: 'after' },
  { bent: 'ackbad', drill: 'bad_config', rule: 'CONFIG acks', says: 'invalid' },
  { bent: 'acklost', drill: 'config_race', rule: 'CONFIG acks', says: 'won over' },
  { bent: 'oldread', drill: 'config_change', rule: 'CONFIG acks', says: 'read back' },
  { bent: 'hollowack', drill: 'config_leap', rule: 'CONFIG acks', says: 'LOST' },
  { bent: 'oldread', drill: 'config_change', rule: 'HISTORY', says: 'no order' },
  { bent: 'hollowack', drill: 'config_leap', rule: 'HISTORY', says: 'no order' },
  { bent: 'falselost', drill: 'config_change', rule: 'HISTORY', says: 'no order' },
  { bent: 'acklost', drill: 'config_race', rule: 'HISTORY', says: 'no order' },
  { bent: 'twoarrivals', drill: 'steady', rule: 'BUDGET', says: 'further arrivals' },
  { bent: 'dropsevent', drill: 'steady', rule: 'ORDER', says: 'event' },
  { bent: 'joins', drill: 'answers_lost', rule: 'ORDER', says: 'event' },
  { bent: 'strangebytes', drill: 'steady', rule: 'MIXED', says: 'bytes' },
  { bent: 'swapshandles', drill: 'steady', rule: 'MIXED', says: 'memory' },
  { bent: 'twoholders', drill: 'bare_stage', rule: 'ONE', says: 'and' },
  { bent: 'staysdown', drill: 'power_off_all', rule: 'RECOVER', says: 'served' },
];
