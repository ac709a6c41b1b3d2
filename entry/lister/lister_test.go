package lister_test

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"reflect"
	"testing"

	"github.com/godwitrelay/godwitrelay/entry/lister"
	"github.com/godwitrelay/godwitrelay/entry/placer"
)

func workers(random *rand.Rand) []placer.Worker {
	var list []placer.Worker
	for i := range 12 {
		if random.Intn(4) > 0 {
			list = append(list, placer.Worker{ID: fmt.Sprintf("w%02d", i), Draining: random.Intn(5) == 0, BornMs: int64(random.Intn(2))})
		}
	}
	random.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list
}

// Guards against entries with another list than their owner has: differences
// over any number of versions, of one author and of several.
func TestUpdates(t *testing.T) {
	for seed := range int64(50) {
		random := rand.New(rand.NewSource(seed))
		owner, follower := &lister.List{}, &lister.List{}
		author := uint64(1)
		for range 100 {
			if random.Intn(20) == 0 {
				author++
			}
			for range random.Intn(50) {
				owner = owner.Replace(author, workers(random))
			}
			data, err := json.Marshal(owner.Since(follower.Version))
			if err != nil {
				t.Fatal(err)
			}
			var u lister.Update
			if err := json.Unmarshal(data, &u); err != nil {
				t.Fatal(err)
			}
			follower = follower.Apply(u)
			if follower.Version != owner.Version || len(follower.Workers) != len(owner.Workers) || (len(owner.Workers) > 0 && !reflect.DeepEqual(follower.Workers, owner.Workers)) {
				t.Fatalf("seed %d: follower has %v %v, owner %v %v", seed, follower.Version, follower.Workers, owner.Version, owner.Workers)
			}
		}
	}
}

// Guards against a whole list at each change, and against a new version where
// nothing has changed.
func TestUpdatesAreSmall(t *testing.T) {
	var list []placer.Worker
	for i := range 1000 {
		list = append(list, placer.Worker{ID: fmt.Sprintf("w%04d", i), Address: "10.0.0.1:9000", Room: placer.Room{CPU: 64000, Mem: 1 << 18}})
	}
	owner := (&lister.List{}).Replace(7, list)
	if owner.Replace(7, list) != owner {
		t.Error("the same list is a new version")
	}
	before := owner.Version
	list[3].Draining = true
	owner = owner.Replace(7, append(list[:500], list[501:]...))
	u := owner.Since(before)
	if u.Full || len(u.Workers) != 1 || len(u.Removed) != 1 {
		t.Errorf("one changed worker and one that left: full %v, %d workers, %d removed", u.Full, len(u.Workers), len(u.Removed))
	}
}

// Guards against lists of two authors that count as the same because their
// numbers are equal, as after a partition.
func TestAuthorsDiffer(t *testing.T) {
	a := (&lister.List{}).Replace(1, []placer.Worker{{ID: "a"}})
	b := (&lister.List{}).Replace(2, []placer.Worker{{ID: "b"}})
	if a.Version == b.Version {
		t.Errorf("lists of two authors have the same version %v", a.Version)
	}
	if got := a.Apply(b.Since(a.Version)); len(got.Workers) != 1 || got.Workers[0].ID != "b" {
		t.Errorf("workers %v, want b only", got.Workers)
	}
}

// Guards against workers that stay known after they left, while an owner of the
// version before answers with whole lists that don't say so.
func TestUpdateOfTheVersionBefore(t *testing.T) {
	have := (&lister.List{}).Replace(1, []placer.Worker{{ID: "a"}})
	var u lister.Update
	if err := json.Unmarshal([]byte(`{"version":5,"workers":[{"id":"b"}]}`), &u); err != nil {
		t.Fatal(err)
	}
	if got := have.Apply(u); len(got.Workers) != 1 || got.Workers[0].ID != "b" {
		t.Errorf("workers %v, want b only", got.Workers)
	}
}
