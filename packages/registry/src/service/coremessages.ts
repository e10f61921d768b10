import { Ident } from '@pumicebarrow/forms';
import { Type } from 'typebox';
import { Command } from '../chain/command.js';
import { CoreState } from '../state/corestate.js';
import { StateChange } from '../state/statechange.js';
import { Member } from '../membership/member.js';
import { Plan } from '../state/plan.js';
import { CommandResult } from '../chain/ruling.js';
import { View } from '../consensus/view.js';
import { Vote } from '../consensus/vote.js';

const shut = { additionalProperties: false } as const;
const maybeView = Type.Union([View, Type.Null()]);

/** The forms of what the core says, and of what is said to it. */
export const CoreMessages = {
  beat: Type.Object({ me: Member, epoch: Type.Integer(), sick: Type.Boolean(), fresh: Type.Boolean() }, shut),
  beaten: Type.Object(
    { me: Member, view: maybeView, claim: Type.Boolean(), sick: Type.Boolean(), fresh: Type.Boolean() },
    shut,
  ),
  prepare: Type.Object({ epoch: Type.Integer(), ballot: Type.Integer() }, shut),
  prepared: Type.Object(
    { ok: Type.Boolean(), wait: Type.Number(), promised: Type.Integer(), took: Vote.properties.took, view: maybeView },
    shut,
  ),
  accept: Type.Object({ epoch: Type.Integer(), ballot: Type.Integer(), view: View }, shut),
  accepted: Type.Object({ ok: Type.Boolean(), promised: Type.Integer(), view: maybeView }, shut),
  view: Type.Object({ view: View }, shut),
  look: Type.Object({}, shut),
  rest: Type.Object({ epoch: Type.Integer() }, shut),
  meet: Type.Object({ me: Member }, shut),
  met: Type.Object({ view: maybeView, took: maybeView, me: Member, met: Type.Array(Member) }, shut),
  hint: Type.Object({ view: maybeView }, shut),
  seen: Type.Object({ view: maybeView, took: maybeView, me: Member }, shut),
  join: Type.Object({ me: Member }, shut),
  done: Type.Object({ ok: Type.Boolean() }, shut),
  push: Type.Object({ epoch: Type.Integer(), state: CoreState }, shut),
  change: Type.Object({ epoch: Type.Integer(), change: StateChange }, shut),
  changed: Type.Object({ ok: Type.Boolean(), lacking: Type.Boolean() }, shut),
  write: Type.Object({ command: Command }, shut),
  written: Type.Object(
    { ruling: Type.Union([CommandResult, Type.Null()]), term: Type.Number(), view: maybeView },
    shut,
  ),
  read: Type.Object({ plan: Type.Optional(Type.String()) }, shut),
  readout: Type.Object(
    {
      ok: Type.Boolean(),
      view: maybeView,
      charter: CoreState.properties.charter,
      plan: Type.Union([Plan, Type.Null()]),
    },
    shut,
  ),
  checkin: Type.Object(
    {
      version: Type.Integer(),
      sum: Type.String(),
      load: Type.Object({ read: Type.Number(), write: Type.Number() }, shut),
    },
    shut,
  ),
  checked: Type.Object(
    {
      ok: Type.Boolean(),
      view: maybeView,
      version: Type.Integer(),
      roster: Type.Union([Type.Array(Ident), Type.Null()]),
      load: Type.Object({ read: Type.Number(), write: Type.Number() }, shut),
    },
    shut,
  ),
  roll: Type.Object(
    {
      view: maybeView,
      roster: Type.Array(
        Type.Object({ who: Ident, version: Type.Integer(), sum: Type.String(), age: Type.Number() }, shut),
      ),
    },
    shut,
  ),
  leave: Type.Object({ names: Type.Array(Type.String()) }, shut),
};
