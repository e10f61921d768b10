/** The zone and the region of a control replica. */
export type MemberLocation = { zone: string; region: string };
