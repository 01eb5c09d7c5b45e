/** Where a call's target is, seen from its entry node. */
export enum PlaceRelation {
	SameZone = 'same-zone',
	SameRegion = 'same-region',
	OtherRegion = 'other-region',
}

export type Place = {readonly region: string; readonly availabilityZone: string};

export const relatePlaces = (from: Place, to: Place): PlaceRelation => {
	if (from.region !== to.region) {
		return PlaceRelation.OtherRegion;
	}

	return from.availabilityZone === to.availabilityZone ? PlaceRelation.SameZone : PlaceRelation.SameRegion;
};
