/** Kinds of machines, by which rentals, their pending records and their refusals are distinguished. */

/** The properties that the cloud distinguishes in rentals. Machines of the same kind are interchangeable. */
export interface MachineKind {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Returns whether two machines or rentals are of the same kind. */
export const isSameKind = (left: MachineKind, right: MachineKind): boolean =>
  left.type === right.type && left.zone === right.zone && left.spot === right.spot;

/** Returns the kind as a key for maps. */
export const machineKindKey = ({ type, zone, spot }: MachineKind): string =>
  `${type} ${zone} ${spot}`;
