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

func randomWorkers(random *rand.Rand) []placer.Worker {
	var list []placer.Worker
	for i := range 12 {
		if random.Intn(4) > 0 {
			list = append(list, placer.Worker{ID: fmt.Sprintf("w%02d", i), Draining: random.Intn(5) == 0, StartedAtMs: int64(random.Intn(2))})
		}
	}
	random.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list
}

// TestUpdates guards against entries whose list differs from that of their
// owner after updates across any number of versions, from one author or
// several.
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
				owner = owner.Replace(author, randomWorkers(random))
			}
			data, err := json.Marshal(owner.UpdateSince(follower.Version))
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

// TestUpdatesAreSmall guards against sending the whole list at each change, and
// against a new version when nothing has changed.
func TestUpdatesAreSmall(t *testing.T) {
	var list []placer.Worker
	for i := range 1000 {
		list = append(list, placer.Worker{ID: fmt.Sprintf("w%04d", i), Address: "10.0.0.1:9000", Resources: placer.Resources{CPU: 64000, Mem: 1 << 18}})
	}
	owner := (&lister.List{}).Replace(7, list)
	if owner.Replace(7, list) != owner {
		t.Error("an unchanged list was given a new version")
	}
	before := owner.Version
	list[3].Draining = true
	owner = owner.Replace(7, append(list[:500], list[501:]...))
	u := owner.UpdateSince(before)
	if u.Full || len(u.Workers) != 1 || len(u.Removed) != 1 {
		t.Errorf("update after one change and one removal: full %v, %d workers, %d removed; want false, 1, 1", u.Full, len(u.Workers), len(u.Removed))
	}
}

// TestAuthorsDiffer guards against treating the lists of two authors as the
// same version because their numbers are equal, as can happen after a
// partition.
func TestAuthorsDiffer(t *testing.T) {
	a := (&lister.List{}).Replace(1, []placer.Worker{{ID: "a"}})
	b := (&lister.List{}).Replace(2, []placer.Worker{{ID: "b"}})
	if a.Version == b.Version {
		t.Errorf("lists of two authors have the same version %v", a.Version)
	}
	if got := a.Apply(b.UpdateSince(a.Version)); len(got.Workers) != 1 || got.Workers[0].ID != "b" {
		t.Errorf("workers %v, want b only", got.Workers)
	}
}

// TestUpdateFromPreviousRelease guards against keeping removed workers when an
// owner of the previous release responds with whole lists that are not marked
// as full.
func TestUpdateFromPreviousRelease(t *testing.T) {
	have := (&lister.List{}).Replace(1, []placer.Worker{{ID: "a"}})
	var u lister.Update
	if err := json.Unmarshal([]byte(`{"version":5,"workers":[{"id":"b"}]}`), &u); err != nil {
		t.Fatal(err)
	}
	if got := have.Apply(u); len(got.Workers) != 1 || got.Workers[0].ID != "b" {
		t.Errorf("workers %v, want b only", got.Workers)
	}
}
