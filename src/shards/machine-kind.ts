/** Kinds of machines, as rentals, their pending records and refusals are told apart. */

/** What the cloud distinguishes in rentals: machines of one kind are interchangeable. */
export interface MachineKind {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Whether two machines or rentals are of the same kind. */
export const isSameKind = (left: MachineKind, right: MachineKind): boolean =>
  left.type === right.type && left.zone === right.zone && left.spot === right.spot;

/** The kind as a key of maps. */
export const machineKindKey = ({ type, zone, spot }: MachineKind): string =>
  `${type} ${zone} ${spot}`;
