/**
 * Messages between the service and the cloud. The protocol's words, mapped here and nowhere else:
 *
 * | wire                         | model                          |
 * | ---------------------------- | ------------------------------ |
 * | Label, Vcpus, Cards, MemGb   | type name, cpus, gpus, memoryGb |
 * | LowPrice                     | spot price                     |
 * | Sites, Site                  | zones, zone                    |
 * | Hire                         | name of a rental request       |
 * | Hosts, Uid, Hosttype         | machines, name, machine type   |
 * | Reclaimable                  | spot                           |
 * | HeldS                        | age of a machine               |
 */
import * as z from 'zod';
import type { MachineType } from '../core/model.js';
import { amountSchema, nameSchema } from './fields.js';

const machineTypeSchema = z
  .object({
    Label: nameSchema,
    Vcpus: amountSchema,
    Cards: amountSchema,
    MemGb: amountSchema,
    CacheGb: amountSchema.nullish(),
    FetchGbPerS: amountSchema.nullish(),
    Price: amountSchema,
    LowPrice: amountSchema.nullish(),
    BootS: amountSchema,
    Sites: z.array(z.string()),
  })
  .transform((type): MachineType => ({
    name: type.Label,
    cpus: type.Vcpus,
    gpus: type.Cards,
    memoryGb: type.MemGb,
    cacheGb: type.CacheGb ?? 0,
    fetchGbPerS: type.FetchGbPerS ?? 1,
    price: type.Price,
    spotPrice: type.LowPrice ?? type.Price,
    bootS: type.BootS,
    zones: type.Sites,
  }));

/** All machine types. */
export const machineTypesSchema = z
  .object({ Hosttypes: z.array(machineTypeSchema) })
  .transform((body) => body.Hosttypes);

/** Machines to be rented; a request that is repeated under the same name rents nothing more. */
export interface CloudRentalRequest {
  readonly request: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** A rental request. */
export const rentalRequestBody = (rental: CloudRentalRequest): unknown => ({
  Hire: rental.request,
  Hosttype: rental.type,
  Site: rental.zone,
  Reclaimable: rental.spot,
  Number: rental.count,
});

/** The names of the machines that a request has rented. */
export const rentedMachinesSchema = z
  .object({ Hosts: z.array(nameSchema) })
  .transform((body) => body.Hosts);

/** Machines to be returned, by name. */
export const returnBody = (machines: readonly string[]): unknown => ({ Hosts: machines });

/** A machine that the cloud counts as rented. */
export interface ListedMachine {
  readonly name: string;
  /** null until it has booted */
  readonly address: string | null;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly status: string;
  /** s since it was rented */
  readonly ageS: number;
}

const listedMachineSchema = z
  .object({
    Uid: nameSchema,
    Address: z.string().nullish(),
    Hosttype: nameSchema,
    Site: nameSchema,
    Reclaimable: z.boolean(),
    Status: z.string(),
    HeldS: z.number().nullish(),
  })
  .transform((machine): ListedMachine => ({
    name: machine.Uid,
    address: machine.Address ?? null,
    type: machine.Hosttype,
    zone: machine.Site,
    spot: machine.Reclaimable,
    status: machine.Status,
    ageS: machine.HeldS ?? 0,
  }));

/** One page of the rented machines, in the order of their names. */
export const machineListSchema = z
  .object({ Hosts: z.array(listedMachineSchema), Truncated: z.boolean().nullish() })
  .transform((body) => ({ machines: body.Hosts, more: body.Truncated ?? false }));
