import { Ident } from '@pumicebarrow/forms';
import { Type } from 'typebox';
import { Command } from '../chain/command.js';
import { CoreState } from '../state/corestate.js';
import { StateChange } from '../state/statechange.js';
import { Member } from '../membership/member.js';
import { Plan } from '../state/plan.js';
import { CommandResult } from '../chain/commandresult.js';
import { View } from '../consensus/view.js';
import { Vote } from '../consensus/vote.js';

const strict = { additionalProperties: false } as const;
const nullableView = Type.Union([View, Type.Null()]);

/**
 * Schemas of the messages to and from control replicas, in pairs of request and reply. `claim` in a heartbeat reply
 * says whether a lease was granted; `took` is the view that a voter has accepted.
 */
export const CoreMessages = {
  heartbeat: Type.Object({ me: Member, epoch: Type.Integer(), sick: Type.Boolean(), fresh: Type.Boolean() }, strict),
  heartbeatReply: Type.Object(
    { me: Member, view: nullableView, claim: Type.Boolean(), sick: Type.Boolean(), fresh: Type.Boolean() },
    strict,
  ),
  prepare: Type.Object({ epoch: Type.Integer(), ballot: Type.Integer() }, strict),
  prepareReply: Type.Object(
    {
      ok: Type.Boolean(),
      wait: Type.Number(),
      promised: Type.Integer(),
      took: Vote.properties.took,
      view: nullableView,
    },
    strict,
  ),
  accept: Type.Object({ epoch: Type.Integer(), ballot: Type.Integer(), view: View }, strict),
  acceptReply: Type.Object({ ok: Type.Boolean(), promised: Type.Integer(), view: nullableView }, strict),
  viewNotice: Type.Object({ view: View }, strict),
  empty: Type.Object({}, strict),
  leaseRecall: Type.Object({ epoch: Type.Integer() }, strict),
  meet: Type.Object({ me: Member }, strict),
  meetReply: Type.Object({ view: nullableView, took: nullableView, me: Member, met: Type.Array(Member) }, strict),
  viewReply: Type.Object({ view: nullableView }, strict),
  lookReply: Type.Object({ view: nullableView, took: nullableView, me: Member }, strict),
  join: Type.Object({ me: Member }, strict),
  acknowledgement: Type.Object({ ok: Type.Boolean() }, strict),
  push: Type.Object({ epoch: Type.Integer(), state: CoreState }, strict),
  change: Type.Object({ epoch: Type.Integer(), change: StateChange }, strict),
  changeReply: Type.Object({ ok: Type.Boolean(), lacking: Type.Boolean() }, strict),
  write: Type.Object({ command: Command }, strict),
  writeReply: Type.Object(
    { ruling: Type.Union([CommandResult, Type.Null()]), term: Type.Number(), view: nullableView },
    strict,
  ),
  read: Type.Object({ plan: Type.Optional(Type.String()) }, strict),
  readReply: Type.Object(
    {
      ok: Type.Boolean(),
      view: nullableView,
      charter: CoreState.properties.charter,
      plan: Type.Union([Plan, Type.Null()]),
    },
    strict,
  ),
  checkIn: Type.Object(
    {
      version: Type.Integer(),
      sum: Type.String(),
      load: Type.Object({ read: Type.Number(), write: Type.Number() }, strict),
    },
    strict,
  ),
  checkInReply: Type.Object(
    {
      ok: Type.Boolean(),
      view: nullableView,
      version: Type.Integer(),
      roster: Type.Union([Type.Array(Ident), Type.Null()]),
      load: Type.Object({ read: Type.Number(), write: Type.Number() }, strict),
    },
    strict,
  ),
  rosterReply: Type.Object(
    {
      view: nullableView,
      roster: Type.Array(
        Type.Object({ who: Ident, version: Type.Integer(), sum: Type.String(), age: Type.Number() }, strict),
      ),
    },
    strict,
  ),
  leave: Type.Object({ names: Type.Array(Type.String()) }, strict),
};
